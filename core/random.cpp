// Unpredictable values from the operating system, read through std::random_device.

#include "core/random.h"

namespace hawthornpin {

std::uint64_t generate_secure_random()
{
    static std::random_device device("/dev/urandom");
    constexpr int bits_per_call = 32;
    const std::uint64_t high = device();
    return (high << bits_per_call) | device();
}

incarnation_id generate_incarnation()
{
    return incarnation_id{generate_secure_random()};
}

ticket_id generate_ticket_id()
{
    return {generate_secure_random(), generate_secure_random()};
}

} // namespace hawthornpin
