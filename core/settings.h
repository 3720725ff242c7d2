// Strict settings: INI files read by GKeyFile and checked against a table of known keys.

#pragma once

#include "core/instant.h"
#include "core/last_reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// Form of a value. Durations end in us, ms, s, min or h; sizes in B, KiB or MiB.
enum class setting_kind {
    text,
    name,
    integer,
    duration,
    size,
    decimal,
    flag,
    address,
    address_list,
    choice,
    digest
};

// One known key. Limits apply to integers, durations (microseconds), sizes (bytes) and decimals.
struct setting_spec {
    std::string m_section;
    std::string m_key;
    setting_kind m_kind = setting_kind::text;
    // Empty if the key is required.
    std::optional<std::string> m_default;
    double m_minimum = 0;
    double m_maximum = 0;
    std::string m_help;
    // Allowed values of a choice.
    std::vector<std::string> m_choices;
};

using settings_table = std::vector<setting_spec>;

// Create rows of a table: with limits, with a list of allowed values, and with neither.
setting_spec ranged_setting(setting_kind kind, std::string section, std::string key,
                            std::optional<std::string> fallback, double minimum, double maximum,
                            std::string help);
setting_spec choice_setting(std::string section, std::string key, std::optional<std::string> fallback,
                            std::vector<std::string> choices, std::string help);
setting_spec plain_setting(setting_kind kind, std::string section, std::string key,
                           std::optional<std::string> fallback, std::string help);

// Validated values. Reading a key that is not in the table is a programming error and throws
// std::out_of_range.
class settings {
public:
    const std::string& text(const std::string& section, const std::string& key) const;
    // Also reads sizes, in bytes.
    std::int64_t integer(const std::string& section, const std::string& key) const;
    double decimal(const std::string& section, const std::string& key) const;
    // Whether a flag is "yes".
    bool is_enabled(const std::string& section, const std::string& key) const;
    microseconds duration(const std::string& section, const std::string& key) const;
    std::vector<std::string> list(const std::string& section, const std::string& key) const;

    friend bool operator==(const settings&, const settings&) = default;

private:
    friend class settings_reader;
    // Keyed by "section.key"; every key of the table has a value that passed its check.
    std::map<std::string, std::string> m_values;
};

// Checks `content` against the table. `file_name` is only used in messages, with the line of the error.
std::optional<settings> read_settings(const std::string& content, const std::string& file_name,
                                      const settings_table& table, last_reason& why);

// Reads and checks a file.
std::optional<settings> read_settings_file(const std::string& path, const settings_table& table,
                                           last_reason& why);

// Reads a whole file; empty if it can't be read.
std::optional<std::string> read_file(const std::string& path, last_reason& why);

// Parses "250ms" and the like to microseconds, "64KiB" to bytes.
std::optional<std::int64_t> parse_duration(const std::string& text);
std::optional<std::int64_t> parse_size(const std::string& text);

// Formats the table as a Markdown reference, which docs/operators/settings.md contains.
std::string to_markdown(const settings_table& table);

} // namespace hawthornpin
