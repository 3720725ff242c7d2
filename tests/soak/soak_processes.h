// Sends signals to the real programs of a soak test. The supervising script starts them, writes their process
// ids to DIRECTORY/NODE.pid and starts each again when it ends.

#pragma once

#include <string>

namespace hawthornpin::soak {

class soak_processes {
public:
    explicit soak_processes(std::string directory) : m_directory(std::move(directory)) {}

    // Does nothing while the node has no process.
    void send_signal(const std::string& node, int signal_number) const;

private:
    std::string m_directory;
};

} // namespace hawthornpin::soak
