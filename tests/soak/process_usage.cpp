// Reads /proc.

#include "tests/soak/process_usage.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

namespace hawthornpin::soak {

namespace {

constexpr std::uint64_t bytes_per_kb = 1'024;
constexpr int hexadecimal = 16;

std::string process_file(int id, const char* name)
{
    return "/proc/" + std::to_string(id) + "/" + name;
}

// An address and a port, or the sizes of two queues, as the kernel writes them: two hexadecimal numbers.
struct hexadecimal_pair {
    std::uint32_t m_first = 0;
    std::uint32_t m_second = 0;
};

hexadecimal_pair parse_pair(std::string_view text)
{
    hexadecimal_pair pair;
    const char* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, pair.m_first, hexadecimal);
    if (first.ptr != end)
        std::from_chars(first.ptr + 1, end, pair.m_second, hexadecimal);
    return pair;
}

// The kernel writes an address as a number in the machine's byte order.
std::uint32_t kernel_address(const std::string& ip)
{
    in_addr address{};
    return ::inet_pton(AF_INET, ip.c_str(), &address) == 1 ? address.s_addr : 0;
}

} // namespace

std::optional<process_usage> read_process_usage(int id)
{
    std::ifstream status(process_file(id, "status"));
    process_usage usage;
    std::string line;
    while (std::getline(status, line)) {
        std::istringstream fields(line);
        std::string name;
        if (fields >> name && name == "VmHWM:" && fields >> usage.m_peak_resident_bytes)
            usage.m_peak_resident_bytes *= bytes_per_kb;
    }
    if (usage.m_peak_resident_bytes == 0)
        return std::nullopt;
    std::error_code failure;
    for (std::filesystem::directory_iterator entry(process_file(id, "fd"), failure), end; entry != end;
         entry.increment(failure))
        ++usage.m_descriptors;
    return failure ? std::nullopt : std::optional(usage);
}

std::optional<process_identity> read_process_identity(const std::string& id_file)
{
    // Fields after the program's name in /proc/ID/stat.
    constexpr int fields_before_start = 18;
    process_identity identity;
    if (!(std::ifstream(id_file) >> identity.m_id))
        return std::nullopt;
    std::ifstream file(process_file(identity.m_id, "stat"));
    std::string skipped;
    std::getline(file, skipped, ')');
    std::string state;
    if (!(file >> state) || state == "Z" || state == "X")
        return std::nullopt;
    for (int field = 0; field < fields_before_start; ++field)
        file >> skipped;
    if (!(file >> identity.m_started_ticks))
        return std::nullopt;
    return identity;
}

queued_input read_queued_input(const std::string& ip, unsigned port, unsigned excluded_port)
{
    // In the line of a listening socket the queue is its number of connections.
    constexpr std::string_view listening = "0A";
    const std::uint32_t address = kernel_address(ip);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    queued_input queued;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local_text;
        std::string remote_text;
        std::string state;
        std::string queues_text;
        fields >> number >> local_text >> remote_text >> state >> queues_text;
        if (state == listening)
            continue;
        const hexadecimal_pair local = parse_pair(local_text);
        const hexadecimal_pair remote = parse_pair(remote_text);
        // Sent, but not acknowledged by the peer; received, but not read.
        const hexadecimal_pair queues = parse_pair(queues_text);
        if (local.m_first == address && local.m_second != excluded_port)
            queued.m_unread_bytes += queues.m_second;
        if (remote.m_first == address && remote.m_second == port)
            queued.m_unsent_bytes += queues.m_first;
    }
    return queued;
}

} // namespace hawthornpin::soak
