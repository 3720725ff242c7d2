// The age of a caller's request when it is read.

#pragma once

#include "core/instant.h"

#include <compare>

namespace hawthornpin {

// By the clock of boot_now().
struct request_age {
    // No later than the arrival of the request's first byte.
    instant m_received_at;
    // When the caller's connection was last known to be alive.
    instant m_heard_at;

    friend auto operator<=>(const request_age&, const request_age&) = default;
};

} // namespace hawthornpin
