// Reads the limits of the HTTP input from the settings of the daemons.

#pragma once

#include "admission/input_limits.h"
#include "core/settings.h"
#include "platform/node_settings.h"

namespace hawthornpin {

input_limits read_input_limits(const node_settings& values);
input_limits read_input_limits(const settings& values);

} // namespace hawthornpin
