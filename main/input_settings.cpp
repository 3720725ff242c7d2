// The resources that the settings state.

#include "main/input_settings.h"

namespace hawthornpin {

namespace {

constexpr std::int64_t bytes_per_megabyte = 1'000'000;

// Values that are not positive are unknown.
input_limits derive(std::int64_t memory_mb, std::int64_t descriptors)
{
    process_resources resources;
    if (memory_mb > 0)
        resources.m_memory_bytes = static_cast<std::size_t>(memory_mb * bytes_per_megabyte);
    if (descriptors > 0)
        resources.m_descriptors = static_cast<std::size_t>(descriptors);
    return derive_input_limits(resources);
}

} // namespace

input_limits read_input_limits(const node_settings& values)
{
    return derive(values.m_memory_mb.value_or(0), values.m_max_descriptors.value_or(0));
}

input_limits read_input_limits(const settings& values)
{
    return derive(values.integer("limits", "memory_mb"), values.integer("limits", "max_fds"));
}

} // namespace hawthornpin
