// A server's connection as a GIO stream, which libsoup requires.

#pragma once

#include "http/server_socket.h"

#include <gio/gio.h>

#include <memory>

namespace hawthornpin {

// Creates a stream, of which the caller owns one reference. Closing or freeing the stream closes the socket;
// other owners may keep the server_socket object for longer.
GIOStream* new_server_stream(const std::shared_ptr<server_socket>& socket);

} // namespace hawthornpin
