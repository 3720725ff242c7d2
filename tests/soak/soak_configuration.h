// The operator's configuration in tests with real processes.

#pragma once

#include <string>

namespace hawthornpin::soak {

// The value of the configuration record: the service svc with the queues wide, long and short.
std::string make_configuration();

} // namespace hawthornpin::soak
