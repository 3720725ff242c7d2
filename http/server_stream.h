// A server's connection in the form that GIO and so the HTTP library work on.

#pragma once

#include "http/server_socket.h"

#include <gio/gio.h>

#include <memory>

namespace hawthornpin {

// A new stream, with one reference for the caller. Closing or freeing it closes the socket; others may keep
// the object itself for longer.
GIOStream* new_server_stream(const std::shared_ptr<server_socket>& socket);

} // namespace hawthornpin
