// GIO stream types on top of a server_socket: a pair of pollable streams, and sources that check its
// readiness.

#include "http/server_stream.h"

#include <cerrno>

namespace hawthornpin {

namespace {

using socket_pointer = std::shared_ptr<server_socket>;

// Instances of the types that are registered below. GLib allocates and frees them, so their members are
// created and destroyed by hand.
struct stream_half {
    // The base instance, a GInputStream or a GOutputStream; large enough for either.
    union {
        GInputStream m_input;
        GOutputStream m_output;
    };
    socket_pointer* m_socket;
};

struct server_stream {
    GIOStream m_base;
    GInputStream* m_input;
    GOutputStream* m_output;
    socket_pointer* m_socket;
};

// Source that is ready when its socket is; dispatching it calls nothing.
struct readiness_source {
    GSource m_base;
    socket_pointer* m_socket;
    bool m_is_for_input;
};

server_socket& socket_of(gpointer half)
{
    return **static_cast<stream_half*>(half)->m_socket;
}

gssize to_gio_result(const transfer_result& result, GError** error)
{
    switch (result.m_status) {
    case transfer_status::done:
        return static_cast<gssize>(result.m_size);
    case transfer_status::would_block:
        g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "nothing can be transferred yet");
        break;
    case transfer_status::timed_out:
        g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT, "the connection was idle for too long");
        break;
    case transfer_status::failed:
        g_set_error_literal(error, G_IO_ERROR, g_io_error_from_errno(result.m_error_number),
                            g_strerror(result.m_error_number));
        break;
    }
    return -1;
}

gboolean is_ready(GSource* source)
{
    const auto* self = reinterpret_cast<readiness_source*>(source);
    const server_socket& socket = **self->m_socket;
    return (self->m_is_for_input ? socket.is_readable() : socket.is_writable()) ? TRUE : FALSE;
}

gboolean prepare_source(GSource* source, gint* timeout)
{
    *timeout = -1;
    return is_ready(source);
}

gboolean dispatch_source(GSource* /*source*/, GSourceFunc /*callback*/, gpointer /*data*/)
{
    return G_SOURCE_CONTINUE;
}

void finalize_source(GSource* source)
{
    delete reinterpret_cast<readiness_source*>(source)->m_socket;
}

// GIO sets a dummy closure on the source, which GLib accepts only for sources that have a closure callback.
gboolean ignore_closure(gpointer /*data*/)
{
    return G_SOURCE_CONTINUE;
}

GSource* new_pollable_source(gpointer stream, GCancellable* cancellable, bool is_for_input)
{
    static GSourceFuncs functions = {prepare_source,  is_ready,       dispatch_source,
                                     finalize_source, ignore_closure, nullptr};
    GSource* source = g_source_new(&functions, sizeof(readiness_source));
    auto* readiness = reinterpret_cast<readiness_source*>(source);
    readiness->m_socket = new socket_pointer(*static_cast<stream_half*>(stream)->m_socket);
    readiness->m_is_for_input = is_for_input;
    server_socket& socket = socket_of(stream);
    g_source_set_ready_time(source,
                            is_for_input ? socket.start_read_timeout() : socket.start_write_timeout());
    GSource* pollable = g_pollable_source_new_full(stream, source, cancellable);
    g_source_unref(source);
    return pollable;
}

gssize read_stream(GInputStream* stream, void* buffer, gsize size, GCancellable* /*cancellable*/,
                   GError** error)
{
    return to_gio_result(socket_of(stream).read(buffer, size), error);
}

gssize read_pollable(GPollableInputStream* stream, void* buffer, gsize size, GError** error)
{
    return to_gio_result(socket_of(stream).read(buffer, size), error);
}

gboolean is_pollable_readable(GPollableInputStream* stream)
{
    return socket_of(stream).is_readable() ? TRUE : FALSE;
}

GSource* create_input_source(GPollableInputStream* stream, GCancellable* cancellable)
{
    return new_pollable_source(stream, cancellable, true);
}

gssize write_stream(GOutputStream* stream, const void* buffer, gsize size, GCancellable* /*cancellable*/,
                    GError** error)
{
    return to_gio_result(socket_of(stream).write(buffer, size), error);
}

gssize write_pollable(GPollableOutputStream* stream, const void* buffer, gsize size, GError** error)
{
    return to_gio_result(socket_of(stream).write(buffer, size), error);
}

gboolean is_pollable_writable(GPollableOutputStream* stream)
{
    return socket_of(stream).is_writable() ? TRUE : FALSE;
}

GSource* create_output_source(GPollableOutputStream* stream, GCancellable* cancellable)
{
    return new_pollable_source(stream, cancellable, false);
}

// Frees the members of a stream_half, then those of its base type.
void finalize_half(GObject* object)
{
    delete reinterpret_cast<stream_half*>(object)->m_socket;
    const auto type = G_TYPE_FROM_INSTANCE(object);
    G_OBJECT_CLASS(g_type_class_peek(g_type_parent(type)))->finalize(object);
}

void init_input_class(gpointer type_class, gpointer /*data*/)
{
    G_OBJECT_CLASS(type_class)->finalize = finalize_half;
    G_INPUT_STREAM_CLASS(type_class)->read_fn = read_stream;
}

void init_output_class(gpointer type_class, gpointer /*data*/)
{
    G_OBJECT_CLASS(type_class)->finalize = finalize_half;
    G_OUTPUT_STREAM_CLASS(type_class)->write_fn = write_stream;
}

void init_pollable_input(gpointer interface, gpointer /*data*/)
{
    auto* methods = static_cast<GPollableInputStreamInterface*>(interface);
    methods->is_readable = is_pollable_readable;
    methods->create_source = create_input_source;
    methods->read_nonblocking = read_pollable;
}

void init_pollable_output(gpointer interface, gpointer /*data*/)
{
    auto* methods = static_cast<GPollableOutputStreamInterface*>(interface);
    methods->is_writable = is_pollable_writable;
    methods->create_source = create_output_source;
    methods->write_nonblocking = write_pollable;
}

GInputStream* get_input(GIOStream* stream)
{
    return reinterpret_cast<server_stream*>(stream)->m_input;
}

GOutputStream* get_output(GIOStream* stream)
{
    return reinterpret_cast<server_stream*>(stream)->m_output;
}

gboolean close_stream(GIOStream* stream, GCancellable* /*cancellable*/, GError** /*error*/)
{
    (*reinterpret_cast<server_stream*>(stream)->m_socket)->close();
    return TRUE;
}

void finalize_stream(GObject* object)
{
    auto* self = reinterpret_cast<server_stream*>(object);
    g_object_unref(self->m_input);
    g_object_unref(self->m_output);
    delete self->m_socket;
    G_OBJECT_CLASS(g_type_class_peek(G_TYPE_IO_STREAM))->finalize(object);
}

void init_stream_class(gpointer type_class, gpointer /*data*/)
{
    G_OBJECT_CLASS(type_class)->finalize = finalize_stream;
    auto* methods = G_IO_STREAM_CLASS(type_class);
    methods->get_input_stream = get_input;
    methods->get_output_stream = get_output;
    methods->close_fn = close_stream;
}

GType input_type()
{
    static const GType type = [] {
        const GType registered = g_type_register_static_simple(
            G_TYPE_INPUT_STREAM, "HawthornpinServerInput", sizeof(GInputStreamClass), init_input_class,
            sizeof(stream_half), nullptr, G_TYPE_FLAG_NONE);
        const GInterfaceInfo pollable = {init_pollable_input, nullptr, nullptr};
        g_type_add_interface_static(registered, G_TYPE_POLLABLE_INPUT_STREAM, &pollable);
        return registered;
    }();
    return type;
}

GType output_type()
{
    static const GType type = [] {
        const GType registered = g_type_register_static_simple(
            G_TYPE_OUTPUT_STREAM, "HawthornpinServerOutput", sizeof(GOutputStreamClass), init_output_class,
            sizeof(stream_half), nullptr, G_TYPE_FLAG_NONE);
        const GInterfaceInfo pollable = {init_pollable_output, nullptr, nullptr};
        g_type_add_interface_static(registered, G_TYPE_POLLABLE_OUTPUT_STREAM, &pollable);
        return registered;
    }();
    return type;
}

GType stream_type()
{
    static const GType type =
        g_type_register_static_simple(G_TYPE_IO_STREAM, "HawthornpinServerStream", sizeof(GIOStreamClass),
                                      init_stream_class, sizeof(server_stream), nullptr, G_TYPE_FLAG_NONE);
    return type;
}

gpointer new_half(GType type, const socket_pointer& socket)
{
    auto* half = static_cast<stream_half*>(g_object_new(type, nullptr));
    half->m_socket = new socket_pointer(socket);
    return half;
}

} // namespace

GIOStream* new_server_stream(const socket_pointer& socket)
{
    auto* stream = static_cast<server_stream*>(g_object_new(stream_type(), nullptr));
    stream->m_input = static_cast<GInputStream*>(new_half(input_type(), socket));
    stream->m_output = static_cast<GOutputStream*>(new_half(output_type(), socket));
    stream->m_socket = new socket_pointer(socket);
    return &stream->m_base;
}

} // namespace hawthornpin
