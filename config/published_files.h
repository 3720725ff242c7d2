// The short INI files that operators publish: service.ini (a contract) and team.ini (a team).

#pragma once

#include "core/settings.h"
#include "world/contract.h"
#include "world/team.h"

#include <optional>
#include <string>

namespace hawthornpin {

// The kind of a published file, determined by the end of its path.
enum class published_kind { service, team };

std::optional<published_kind> kind_of_path(const std::string& path);

// Tables of the keys of both files, from which their reference page is generated.
const settings_table& service_file_table();
const settings_table& team_file_table();

// Parse a file with strict checks. On failure `why` names the fault, with file, line and key where they
// apply.
std::optional<contract> parse_service_file(const std::string& content, const std::string& path,
                                           last_reason& why);
std::optional<team> parse_team_file(const std::string& content, const std::string& path, last_reason& why);

} // namespace hawthornpin
