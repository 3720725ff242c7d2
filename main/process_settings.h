// The settings tables of the daemons.

#pragma once

#include "core/logging.h"
#include "core/settings.h"
#include "dispatch/dispatcher.h"
#include "rpc/bounded_message_stream.h"

namespace hawthornpin {

const settings_table& agent_settings_table();
const settings_table& entry_settings_table();

// Settings that both daemons read in the same way.
placement_settings read_placement(const settings& values);
log_level read_log_level(const settings& values);
message_limits read_message_limits(const settings& values);
dispatch_settings read_dispatch(const settings& values);

// A duration setting in whole milliseconds, at least 1, as timers need it.
unsigned timer_ms(const settings& values, const std::string& section, const std::string& key);

} // namespace hawthornpin
