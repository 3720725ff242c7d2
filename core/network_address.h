// Checks of addresses in the form IP:PORT.

#pragma once

#include <string>

namespace hawthornpin {

// Whether the text is an IP address and a port of 0 to 65535, where 0 lets the kernel choose.
bool is_network_address(const std::string& text);

// Whether another process can be reached at the address: its port is not 0.
bool is_peer_address(const std::string& text);

} // namespace hawthornpin
