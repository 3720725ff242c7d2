// Reading and checking of INI settings.

#include "core/settings.h"

#include "core/ids.h"
#include "core/network_address.h"
#include "core/numbers.h"

#include <glib.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace hawthornpin {

namespace {

using key_file = std::unique_ptr<GKeyFile, decltype(&g_key_file_unref)>;
using string_list = std::unique_ptr<char*, decltype(&g_strfreev)>;
using owned_text = std::unique_ptr<char, decltype(&g_free)>;

struct unit {
    const char* m_suffix;
    std::int64_t m_factor;
};

// Longer suffixes first, so that "ms" is not taken for "s".
constexpr unit duration_units[] = {
    {"min", 60'000'000}, {"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"h", 3'600'000'000}};
constexpr unit size_units[] = {{"KiB", 1024}, {"MiB", 1024 * 1024}, {"B", 1}};

template <std::size_t Count>
std::optional<std::int64_t> parse_with_unit(std::string_view text, const unit (&units)[Count])
{
    for (const unit& candidate : units) {
        const std::string_view suffix = candidate.m_suffix;
        if (!text.ends_with(suffix))
            continue;
        const auto value = parse_number<std::int64_t>(text.substr(0, text.size() - suffix.size()));
        if (!value || *value < 0 || *value > INT64_MAX / candidate.m_factor)
            return std::nullopt;
        return *value * candidate.m_factor;
    }
    return std::nullopt;
}

std::optional<double> parse_decimal(const std::string& text)
{
    char* end = nullptr;
    const double value = g_ascii_strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0')
        return std::nullopt;
    return value;
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const owned_text stripped(g_strdup(item.c_str()), g_free);
        items.emplace_back(g_strstrip(stripped.get()));
    }
    return items;
}

bool is_digest(const std::string& text)
{
    constexpr std::size_t sha256_digits = 64;
    return text.size() == sha256_digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string check_range(std::optional<double> value, const setting_spec& spec, const char* form)
{
    if (!value)
        return std::string("must be ") + form;
    if (*value < spec.m_minimum || *value > spec.m_maximum) {
        std::ostringstream text;
        text << "is out of range, allowed " << spec.m_minimum << " to " << spec.m_maximum;
        if (spec.m_kind == setting_kind::duration)
            text << " microseconds";
        if (spec.m_kind == setting_kind::size)
            text << " bytes";
        return text.str();
    }
    return {};
}

std::string check_choice(const std::string& value, const setting_spec& spec)
{
    if (std::find(spec.m_choices.begin(), spec.m_choices.end(), value) != spec.m_choices.end())
        return {};
    std::string message = "must be one of";
    for (const std::string& choice : spec.m_choices)
        message += " " + choice;
    return message;
}

// Returns the error message for an invalid value, or an empty string.
std::string check_value(const std::string& value, const setting_spec& spec)
{
    switch (spec.m_kind) {
    case setting_kind::text:
        return {};
    case setting_kind::name:
        return is_valid_name(value) ? "" : "must be lower-case letters, digits and hyphens, at most 63";
    case setting_kind::integer:
        return check_range(parse_number<std::int64_t>(value), spec, "a whole number");
    case setting_kind::decimal:
        return check_range(parse_decimal(value), spec, "a number");
    case setting_kind::duration:
        return check_range(parse_duration(value), spec, "a duration such as 250ms, 3s or 5min");
    case setting_kind::size:
        return check_range(parse_size(value), spec, "a size such as 512B, 64KiB or 1MiB");
    case setting_kind::flag:
        return value == "yes" || value == "no" ? "" : "must be yes or no";
    case setting_kind::address:
        return is_network_address(value) ? ""
                                         : "must be an IP address and port number such as 127.0.0.1:8080";
    case setting_kind::address_list: {
        const auto items = split_list(value);
        return std::all_of(items.begin(), items.end(), is_network_address)
                   ? ""
                   : "must be IP:port items, comma-separated";
    }
    case setting_kind::choice:
        return check_choice(value, spec);
    case setting_kind::digest:
        return is_digest(value) ? "" : "must be 64 lower-case hexadecimal digits (SHA-256)";
    }
    return "has an unknown kind";
}

// Returns the line of a key for messages, or else the line of its section; zero if there is neither.
int find_line(const std::string& content, const std::string& section, const std::string& key)
{
    std::istringstream stream(content);
    std::string current;
    int number = 0;
    int section_line = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        if (line.starts_with("[" + section + "]"))
            section_line = number;
        if (line.starts_with("["))
            current = line.substr(1, line.find(']') - 1);
        const std::string name = line.substr(0, line.find_first_of("= \t"));
        if (!key.empty() && current == section && name == key)
            return number;
    }
    return section_line;
}

std::optional<std::string> find_repeated_key(const std::string& content)
{
    std::istringstream stream(content);
    std::string section;
    std::vector<std::string> seen;
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("[")) {
            section = line;
            continue;
        }
        const std::size_t equals = line.find('=');
        if (line.starts_with("#") || equals == std::string::npos)
            continue;
        std::string name = section + line.substr(0, line.find_first_of("= \t"));
        if (std::find(seen.begin(), seen.end(), name) != seen.end())
            return name;
        seen.push_back(std::move(name));
    }
    return std::nullopt;
}

} // namespace

// Collects the values of one file, stopping at the first error.
class settings_reader {
public:
    settings_reader(const std::string& content, const std::string& file_name, const settings_table& table,
                    last_reason& why)
        : m_content(content), m_file_name(file_name), m_table(table), m_why(why),
          m_file(g_key_file_new(), g_key_file_unref)
    {
    }

    std::optional<settings> read()
    {
        if (!load() || !check_known_keys())
            return std::nullopt;
        settings result;
        for (const setting_spec& spec : m_table) {
            const auto value = read_value(spec);
            if (!value)
                return std::nullopt;
            result.m_values[spec.m_section + "." + spec.m_key] = *value;
        }
        return result;
    }

private:
    bool fail(const std::string& section, const std::string& key, const std::string& message)
    {
        const int line = find_line(m_content, section, key);
        m_why.set(m_file_name + ":" + std::to_string(line) + ": [" + section + "] " + key + " " + message);
        return false;
    }

    bool load()
    {
        GError* error = nullptr;
        if (!g_key_file_load_from_data(m_file.get(), m_content.c_str(), m_content.size(), G_KEY_FILE_NONE,
                                       &error)) {
            m_why.set(m_file_name + ": " + error->message);
            g_error_free(error);
            return false;
        }
        if (const auto repeated = find_repeated_key(m_content)) {
            m_why.set(m_file_name + ": " + *repeated + " is given twice");
            return false;
        }
        return true;
    }

    bool check_known_keys()
    {
        const string_list groups(g_key_file_get_groups(m_file.get(), nullptr), g_strfreev);
        for (char** group = groups.get(); *group != nullptr; ++group) {
            const string_list keys(g_key_file_get_keys(m_file.get(), *group, nullptr, nullptr), g_strfreev);
            if (!is_known(*group, {}))
                return fail(*group, "", "is an unknown section");
            for (char** key = keys.get(); key != nullptr && *key != nullptr; ++key) {
                if (!is_known(*group, *key))
                    return fail(*group, *key, "is an unknown key");
            }
        }
        return true;
    }

    // An empty key checks only the section.
    bool is_known(const std::string& section, const std::string& key) const
    {
        return std::any_of(m_table.begin(), m_table.end(), [&](const setting_spec& spec) {
            return spec.m_section == section && (key.empty() || spec.m_key == key);
        });
    }

    std::optional<std::string> read_value(const setting_spec& spec)
    {
        const owned_text raw(
            g_key_file_get_string(m_file.get(), spec.m_section.c_str(), spec.m_key.c_str(), nullptr), g_free);
        if (!raw) {
            if (spec.m_default)
                return spec.m_default;
            fail(spec.m_section, spec.m_key, "is missing");
            return std::nullopt;
        }
        std::string value = raw.get();
        const std::string fault = check_value(value, spec);
        if (!fault.empty()) {
            fail(spec.m_section, spec.m_key, fault + " (got \"" + value + "\")");
            return std::nullopt;
        }
        return value;
    }

    const std::string& m_content;
    const std::string& m_file_name;
    const settings_table& m_table;
    last_reason& m_why;
    key_file m_file;
};

setting_spec plain_setting(setting_kind kind, std::string section, std::string key,
                           std::optional<std::string> fallback, std::string help)
{
    setting_spec spec;
    spec.m_section = std::move(section);
    spec.m_key = std::move(key);
    spec.m_kind = kind;
    spec.m_default = std::move(fallback);
    spec.m_help = std::move(help);
    return spec;
}

setting_spec ranged_setting(setting_kind kind, std::string section, std::string key,
                            std::optional<std::string> fallback, double minimum, double maximum,
                            std::string help)
{
    setting_spec spec =
        plain_setting(kind, std::move(section), std::move(key), std::move(fallback), std::move(help));
    spec.m_minimum = minimum;
    spec.m_maximum = maximum;
    return spec;
}

setting_spec choice_setting(std::string section, std::string key, std::optional<std::string> fallback,
                            std::vector<std::string> choices, std::string help)
{
    setting_spec spec = plain_setting(setting_kind::choice, std::move(section), std::move(key),
                                      std::move(fallback), std::move(help));
    spec.m_choices = std::move(choices);
    return spec;
}

const std::string& settings::text(const std::string& section, const std::string& key) const
{
    return m_values.at(section + "." + key);
}

std::int64_t settings::integer(const std::string& section, const std::string& key) const
{
    const std::string& value = text(section, key);
    if (const auto size = parse_size(value))
        return *size;
    return parse_number<std::int64_t>(value).value_or(0);
}

double settings::decimal(const std::string& section, const std::string& key) const
{
    return parse_decimal(text(section, key)).value_or(0);
}

bool settings::is_enabled(const std::string& section, const std::string& key) const
{
    return text(section, key) == "yes";
}

microseconds settings::duration(const std::string& section, const std::string& key) const
{
    return microseconds(parse_duration(text(section, key)).value_or(0));
}

std::vector<std::string> settings::list(const std::string& section, const std::string& key) const
{
    return split_list(text(section, key));
}

std::optional<settings> read_settings(const std::string& content, const std::string& file_name,
                                      const settings_table& table, last_reason& why)
{
    return settings_reader(content, file_name, table, why).read();
}

std::optional<settings> read_settings_file(const std::string& path, const settings_table& table,
                                           last_reason& why)
{
    const auto content = read_file(path, why);
    if (!content)
        return std::nullopt;
    return read_settings(*content, path, table, why);
}

std::optional<std::string> read_file(const std::string& path, last_reason& why)
{
    char* content = nullptr;
    gsize length = 0;
    GError* error = nullptr;
    if (!g_file_get_contents(path.c_str(), &content, &length, &error)) {
        why.set(error->message);
        g_error_free(error);
        return std::nullopt;
    }
    const owned_text owner(content, g_free);
    return std::string(content, length);
}

std::optional<std::int64_t> parse_duration(const std::string& text)
{
    return parse_with_unit(text, duration_units);
}

std::optional<std::int64_t> parse_size(const std::string& text)
{
    return parse_with_unit(text, size_units);
}

std::string to_markdown(const settings_table& table)
{
    std::ostringstream out;
    out << "| section | key | default | meaning |\n| --- | --- | --- | --- |\n";
    for (const setting_spec& spec : table) {
        out << "| " << spec.m_section << " | " << spec.m_key << " | ";
        out << (spec.m_default ? "`" + *spec.m_default + "`" : "required") << " | " << spec.m_help << " |\n";
    }
    return out.str();
}

} // namespace hawthornpin
