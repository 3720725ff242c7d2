// Error text for functions that return std::optional: a function that fails stores its reason here.

#pragma once

#include <string>
#include <utility>

namespace hawthornpin {

// Holds the reason of the most recent failure of the functions it was passed to.
class last_reason {
public:
    // Stores a text for people to read.
    void set(std::string text) { m_text = std::move(text); }

    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace hawthornpin
