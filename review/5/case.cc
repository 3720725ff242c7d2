// The entries' open connections to the store go silent; new ones work.

#include "../stand_ins/deployment.hh"

#include <cstring>

using namespace review;

namespace {

constexpr int entry_count = deployment::entry_count;
// Bounds of the deployment.
constexpr long long contact_ms = 3000;
constexpr long long config_apply_ms = 2000;

} // namespace

int main(int, char** arguments)
{
    record lines(arguments[1]);
    const bool has_trouble = std::strcmp(arguments[2], "0") != 0;
    deployment system(lines);
    if (!system.start({{"old", "/old/"}}))
        return conclude(lines, 2, "the deployment did not start");
    for (int entry = 0; entry < entry_count; ++entry) {
        const std::string id = "00000000000000a" + std::to_string(entry);
        if (system.submit(entry, "/old/" + id, make_job("500 100", 1, 500, 100), 1500).m_status != 200)
            return conclude(lines, 2, "a job before the disruption was not completed");
    }
    const long long silent_at = now_ms();
    if (has_trouble) {
        system.m_store->silence_open_connections();
        lines.write("the open connections to the store go silent");
    }
    // From here on all machines are in touch again, and the store is stable.
    sleep_until(silent_at + contact_ms + 50);
    system.configure(2, {{"new", "/new/"}});
    const long long acknowledged_at = now_ms();
    sleep_until(acknowledged_at + config_apply_ms + 20);
    int not_found = 0;
    int ran_old = 0;
    int in_force = 0;
    for (int round = 0; round < 40; ++round) {
        for (int entry = 0; entry < entry_count; ++entry) {
            const std::string id = "000000000000b" + std::to_string(100 + round) + std::to_string(entry);
            const std::string job = make_job("100 10", 1, 100, 10);
            const long long sent_after = now_ms() - acknowledged_at;
            const auto fresh = system.submit(entry, "/new/" + id.substr(1), job, 1500);
            const auto dropped = system.submit(entry, "/old/c" + id.substr(2), job, 1500);
            not_found += fresh.m_status == 404 ? 1 : 0;
            ran_old += dropped.m_status == 200 ? 1 : 0;
            in_force += fresh.m_status == 200 && dropped.m_status == 404 ? 1 : 0;
            if (fresh.m_status == 404 || dropped.m_status == 200)
                lines.write("entry-" + std::to_string(entry) + " acts by the old version, " +
                            std::to_string(sent_after) + " ms after the acknowledgement");
        }
        sleep_ms(10);
    }
    const std::string counts = std::to_string(not_found) + " requests for the new route were answered 404, " +
                               std::to_string(ran_old) + " jobs of the dropped route ran, " +
                               std::to_string(in_force) + " pairs were handled by the new version";
    if (not_found + ran_old > 0)
        return conclude(lines, 1, "CONFIG: " + counts);
    return in_force == 0 ? conclude(lines, 2, counts) : conclude(lines, 0, counts);
}
