// The main function of the test programs.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <glib.h>

int main(int argument_count, char** arguments)
{
    // GLib reports the use of a freed object only as a message.
    g_log_set_always_fatal(static_cast<GLogLevelFlags>(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL));
    return doctest::Context(argument_count, arguments).run();
}
