// The companion of std::optional: functions that can fail return an optional and leave the reason here.

#pragma once

#include <string>
#include <utility>

namespace hawthornpin {

// Holds the reason of the most recent failure of the functions it was passed to.
class last_reason {
public:
    // Stores the text that a person will read.
    void set(std::string text) { m_text = std::move(text); }

    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace hawthornpin
