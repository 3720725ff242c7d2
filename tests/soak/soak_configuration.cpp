// Writes the configuration as JSON.

#include "tests/soak/soak_configuration.h"

#include "core/json.h"

namespace hawthornpin::soak {

std::string make_configuration()
{
    json_writer body;
    body.begin_object().key("version").integer(1).key("routes").begin_array();
    for (const char* queue : {"wide", "long", "short"}) {
        body.begin_object().key("name").text(queue).key("host").text("soak.example");
        body.key("path_prefix").text(std::string("/") + queue + "/").key("service").text("svc");
        body.key("priority").integer(0).key("max_attempts").integer(3).key("stretch").decimal(1.6);
        body.key("target_latency_ms").integer(60).end_object();
    }
    body.end_array().key("services").begin_array();
    body.begin_object().key("name").text("svc").key("enforces_capacity").flag(false).end_object();
    body.end_array().end_object();
    return body.to_string();
}

} // namespace hawthornpin::soak
