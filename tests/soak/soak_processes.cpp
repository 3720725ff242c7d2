// Reads the process ids from the files of the supervising script.

#include "tests/soak/soak_processes.h"

#include <csignal>
#include <fstream>

namespace hawthornpin::soak {

void soak_processes::send_signal(const std::string& node, int signal_number) const
{
    std::ifstream file(m_directory + "/" + node + ".pid");
    pid_t process = 0;
    if (file >> process && process > 1)
        ::kill(process, signal_number);
}

} // namespace hawthornpin::soak
