// The reactor's timers, for KJ libraries that need a kj::Timer.

#pragma once

#include <kj/timer.h>

namespace hawthornpin {

class reactor_clock final : public kj::Timer {
public:
    kj::TimePoint now() const override;
    kj::Promise<void> atTime(kj::TimePoint time) override;     // NOLINT(readability-identifier-naming)
    kj::Promise<void> afterDelay(kj::Duration delay) override; // NOLINT(readability-identifier-naming)
};

} // namespace hawthornpin
