// What a task needs of a worker and what a worker has: processor, memory and accelerators.

#pragma once

#include <compare>
#include <cstdint>

namespace hawthornpin {

// An amount of each resource. Comparison is lexicographic; use fits() to compare each resource.
struct resources {
    // Thousandths of a core.
    std::int64_t m_cpu_milli = 0;
    std::int64_t m_memory_mib = 0;
    std::int64_t m_accelerators = 0;

    friend auto operator<=>(const resources&, const resources&) = default;
};

constexpr resources operator+(const resources& left, const resources& right)
{
    return {left.m_cpu_milli + right.m_cpu_milli, left.m_memory_mib + right.m_memory_mib,
            left.m_accelerators + right.m_accelerators};
}

constexpr resources operator-(const resources& left, const resources& right)
{
    return {left.m_cpu_milli - right.m_cpu_milli, left.m_memory_mib - right.m_memory_mib,
            left.m_accelerators - right.m_accelerators};
}

// Whether `needed` is at most `available` in every resource.
constexpr bool fits(const resources& needed, const resources& available)
{
    return needed.m_cpu_milli <= available.m_cpu_milli && needed.m_memory_mib <= available.m_memory_mib &&
           needed.m_accelerators <= available.m_accelerators;
}

} // namespace hawthornpin
