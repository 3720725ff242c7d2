// The operator of a soak test, who evacuates zones and revokes that, at times drawn from a seed.

#pragma once

#include "core/event_loop.h"
#include "core/random.h"
#include "tests/soak/soak_store.h"
#include "tests/soak/soak_verifier.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpin::soak {

class soak_operator {
public:
    soak_operator(std::uint64_t seed, soak_store& store, soak_verifier& verifier)
        : m_random(seed), m_store(store), m_verifier(verifier)
    {
    }

    // Evacuates some of the zones, never all of them at once, each for at least `min_evacuated`, until
    // stop().
    void start(std::vector<std::string> zones, milliseconds min_evacuated);
    // Revokes all evacuations, as soon as the store is up.
    void stop();

private:
    void act();
    void evacuate(const std::string& zone);
    void revoke(const std::string& zone);
    void revoke_all();

    random_source m_random;
    soak_store& m_store;
    soak_verifier& m_verifier;
    std::vector<std::string> m_zones;
    milliseconds m_min_evacuated{0};
    // Evacuated zones and since when.
    std::map<std::string, instant> m_evacuated;
    std::unique_ptr<timer> m_tick;
};

} // namespace hawthornpin::soak
