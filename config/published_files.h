// The short INI files that operators publish: service.ini (a contract) and team.ini (a team).

#pragma once

#include "core/settings.h"
#include "world/contract.h"
#include "world/team.h"

#include <optional>
#include <string>

namespace hawthornpin {

// The kind of a published file, told by the last part of its path.
enum class published_kind { service, team };

std::optional<published_kind> kind_of_path(const std::string& path);

// Keys of the two files, also the source of their reference page.
const settings_table& service_file_table();
const settings_table& team_file_table();

// Strict checks. On failure `why` names file, line, key and fault.
std::optional<contract> parse_service_file(const std::string& content, const std::string& path,
                                           last_reason& why);
std::optional<team> parse_team_file(const std::string& content, const std::string& path, last_reason& why);

} // namespace hawthornpin
