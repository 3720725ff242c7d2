// A complete system in one process and on one event loop: log, target, agent and entry over loopback.

#pragma once

#include "core/json.h"
#include "core/random.h"
#include "main/agent_process.h"
#include "main/entry_process.h"
#include "main/process_settings.h"
#include "main/publisher.h"
#include "tests/stand_ins/log_service.h"
#include "tests/stand_ins/target.h"

#include <doctest/doctest.h>

namespace hawthornpin {

// Ports are fixed, so only one fixture may exist at a time.
class system_fixture {
public:
    static constexpr const char* key = "test-key";

    system_fixture()
        : m_log_server([this](const api_request& request) { return m_log.handle(request); }, api_limits()),
          m_target_server([this](const api_request& request) { return m_target.handle(request); },
                          api_limits())
    {
        last_reason why;
        REQUIRE(m_log_server.listen("127.0.0.1:25000", why));
        REQUIRE(m_target_server.listen("127.0.0.1:25001", why));
        publish();
        m_entry = std::make_unique<entry_process>(m_loop, read(entry_text, entry_settings_table()));
        m_agent = std::make_unique<agent_process>(m_loop, read(agent_text, agent_settings_table()));
        REQUIRE(m_entry->start(why));
        REQUIRE(m_agent->start(why));
        wait_until_ready();
    }

    http_response send(const http_request& request)
    {
        http_client client(1);
        return run_until_complete(m_loop, client.send(request));
    }

    http_response call(const std::string& method, const std::string& path, const std::string& body,
                       const std::string& caller_key = key)
    {
        return send(
            {method, "http://127.0.0.1:25002" + path, body, {{"Authorization", "Bearer " + caller_key}}});
    }

    std::string take_ticket(const std::string& service = "circles")
    {
        const auto response = call("POST", "/v1/services/" + service + "/tickets", "");
        reason why = reason::none;
        const auto document = json_document::parse(response.m_body, why);
        REQUIRE(document);
        return document->root().texts("tickets").front();
    }

    void run_loop_for(unsigned delay_ms)
    {
        run_until_complete(m_loop, after_delay(delay_ms).then([] { return true; }));
    }

    event_loop m_loop;
    stand_ins::log_service m_log;
    stand_ins::target m_target{8};
    api_server m_log_server;
    api_server m_target_server;
    std::unique_ptr<entry_process> m_entry;
    std::unique_ptr<agent_process> m_agent;

private:
    static constexpr const char* entry_text =
        "[entry]\nid=entry-1\nhttp_address=127.0.0.1:25002\nrpc_address=127.0.0.1:25003\n"
        "operator_address=127.0.0.1:25004\n[place]\nregion=r\nzone=z\n[entries]\nseeds=127.0.0.1:25003\n"
        "[platform]\nlog_address=127.0.0.1:25000\n[keys]\ncluster_key=c\nticket_key=t\n[limits]\nbody=64KiB\n"
        "headers=4KiB\n[log]\nlevel=error\n";
    static constexpr const char* agent_text =
        "[agent]\nid=agent-1\nservice=circles\nrpc_address=127.0.0.1:25005\noperator_address=127.0.0.1:"
        "25006\n"
        "target_address=127.0.0.1:25001\n[place]\nregion=r\nzone=z\n[entries]\nseeds=127.0.0.1:25003\n"
        "[keys]\ncluster_key=c\n[timing]\nheartbeat=100ms\ntarget_poll=100ms\n[log]\nlevel=error\n";

    static settings read(const std::string& text, const settings_table& table)
    {
        last_reason why;
        const auto values = read_settings(text, "test.ini", table, why);
        INFO(why.text());
        REQUIRE(values);
        return *values;
    }

    void publish()
    {
        const std::string digest = sha256_hex(key);
        const local_files files = {
            {"circles/service.ini", "[service]\nname=circles\nowner=cercles\n[limits]\nmax_payload=1KiB\n"},
            {"groups/service.ini", "[service]\nname=groups\nowner=cercles\nrepeatable=yes\n"},
            {"team/team.ini", "[team]\nname=cercles\nkey_sha256=" + digest + "\n"},
            {"slow/team.ini", "[team]\nname=slow\nrate=1\nkey_sha256=" + sha256_hex("slow-key") + "\n"},
        };
        publisher target(log_client("127.0.0.1:25000", "hawthornpin-config"));
        const auto result =
            run_until_complete(m_loop, target.publish(plan_change({}, files, false, "first")));
        REQUIRE(result.m_verdict == publish_verdict::accepted);
    }

    void wait_until_ready()
    {
        constexpr int tries = 100;
        constexpr unsigned pause_ms = 50;
        for (int index = 0; index < tries; ++index) {
            run_loop_for(pause_ms);
            const bool is_agent_ready =
                send({"GET", "http://127.0.0.1:25006/readyz", "", {}}).m_status == 200;
            const bool is_entry_ready =
                send({"GET", "http://127.0.0.1:25004/readyz", "", {}}).m_status == 200;
            if (is_agent_ready && is_entry_ready)
                return;
        }
        FAIL("the system did not become ready");
    }
};

} // namespace hawthornpin
