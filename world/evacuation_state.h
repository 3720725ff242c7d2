// The evacuated availability zones as processes report them to each other, as immutable values.

#pragma once

#include "core/instant.h"

#include <cstdint>
#include <set>
#include <string>

namespace hawthornpin {

// The evacuated zones by all records of the operator's log before an offset. A state with a higher offset is
// newer.
struct evacuation_state {
    std::int64_t m_offset = 0;
    std::set<std::string> m_zones;

    friend bool operator==(const evacuation_state&, const evacuation_state&) = default;
};

// A record of the operator's log that evacuates a zone, or revokes its evacuation.
struct evacuation_record {
    std::string m_zone;
    bool m_is_evacuated = false;

    friend bool operator==(const evacuation_record&, const evacuation_record&) = default;
};

// A state in a message. Every record that was acknowledged m_age before the message was sent, or earlier, is
// contained in the state.
struct evacuation_report {
    evacuation_state m_state;
    milliseconds m_age{0};

    friend bool operator==(const evacuation_report&, const evacuation_report&) = default;
};

} // namespace hawthornpin
