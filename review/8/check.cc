// A worker crashes and starts again under its id as another kind, without the label that tasks need: do they
// start on it?

#include "../stand-ins-2/rig.hh"

using namespace rig;

namespace {

constexpr int entry_count = 4, worker_count = 11, crash_count = 50;
constexpr long long deadline_ms = 1'500, down_ms = 200;
const kind plain{"a", 16'000}, special{"b", 24'000};

std::mutex judge_lock;
int misplaced = 0, overfull = 0, starts = 0;

void observe(const run_event& event)
{
    const std::lock_guard<std::mutex> guard(judge_lock);
    if (event.task[0] == 'f' || !event.is_start)
        return;
    ++starts;
    record("worker %s (label %s): start of %s run %lld", event.worker.c_str(), event.of.label.c_str(), event.task.c_str(),
           event.run);
    if (event.used_cpu > event.of.cpu) {
        ++overfull;
        record("BROKEN LIMIT: %s uses %lld of %lld", event.worker.c_str(), event.used_cpu, event.of.cpu);
    }
    if (event.of.label == special.label)
        return;
    ++misplaced;
    record("BROKEN ROUTE: %s needs label %s and starts on %s, life %lld, which has label %s", event.task.c_str(),
           special.label.c_str(), event.worker.c_str(), event.life, event.of.label.c_str());
}

} // namespace

int main(int count, char** arguments)
{
    case_frame frame;
    if (!frame.open(count, arguments))
        return 2;
    std::vector<kind> kinds;
    for (int number = 0; number < worker_count; ++number)
        kinds.push_back(number % 3 == 2 ? special : plain);
    auto site = std::make_unique<deployment>(frame.root, frame.folder, entry_count, kinds);
    if (!site->start(observe))
        finish(site, 2, "the deployment did not start");
    std::atomic<bool> is_over{false};
    std::vector<std::thread> clients;
    std::atomic<unsigned> next{0};
    for (int client = 0; client < 16; ++client)
        clients.emplace_back([&, client] {
            connection own(site->entry_ip(client % entry_count), deployment::front_port);
            while (!is_over) {
                const std::string id = job_id(next++);
                const int status = own.call("POST", deployment::prefix + id, job_headers(deadline_ms),
                                            job_body(4, 1'600, 60, 1, special.label), deadline_ms);
                if (status != 200)
                    record("client gets %d for %s", status, id.c_str());
                if (status <= 0)
                    own.close();
                sleep_ms(10);
            }
        });
    for (int crash = 0; crash < crash_count; ++crash) {
        sleep_ms(1'500);
        worker& chosen = *site->workers[static_cast<std::size_t>(2 + 3 * (crash % 3))];
        const bool is_plain = crash / 3 % 2 == 0;
        if (frame.has_trouble)
            chosen.crash(down_ms, is_plain ? plain : special);
    }
    sleep_ms(1'000);
    is_over = true;
    for (std::thread& client : clients)
        client.join();
    record("%d starts, %d on a worker without the label, %d over the capacity", starts, misplaced, overfull);
    finish(site, misplaced > 0 ? 1 : 0, misplaced > 0 ? "ROUTE was broken" : "ROUTE held");
}
