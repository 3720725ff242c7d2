// Unpredictable values, drawn through the standard library's operating system source.

#include "core/random.h"

namespace hawthornpin {

std::uint64_t draw_unpredictable()
{
    static std::random_device device("/dev/urandom");
    constexpr int half_width = 32;
    const std::uint64_t high = device();
    return (high << half_width) | device();
}

incarnation_id draw_incarnation()
{
    return incarnation_id{draw_unpredictable()};
}

ticket_id draw_ticket_id()
{
    return {draw_unpredictable(), draw_unpredictable()};
}

} // namespace hawthornpin
