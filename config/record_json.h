// JSON encoding of configuration records in the log stream.

#pragma once

#include "config/config_state.h"

namespace hawthornpin {

std::string to_json(const config_change& change);
std::string to_json(const config_checkpoint& checkpoint);

// Reads a record body. A body that is not a known record gives a record with neither part set, so that all
// readers skip it.
config_record record_from_json(log_offset offset, const std::string& text);

} // namespace hawthornpin
