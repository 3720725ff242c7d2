// Strict parsing and writing of JSON.

#include "core/json.h"

#include <algorithm>
#include <set>

namespace hawthornpin {

namespace {

// Records the members of each object during parsing; a repeated member makes the document ambiguous.
struct duplicate_key_detector {
    std::set<std::pair<const JsonObject*, std::string>> m_seen;
    bool m_has_duplicate = false;
};

void on_object_member(JsonParser* /*parser*/, JsonObject* object, const char* name, gpointer data)
{
    auto* detector = static_cast<duplicate_key_detector*>(data);
    if (!detector->m_seen.emplace(object, name).second)
        detector->m_has_duplicate = true;
}

// Scans the raw text for input that the parser accepts but this code can't handle: nesting beyond the limit,
// and zero bytes in strings, which would truncate them.
bool has_unsupported_content(std::string_view text)
{
    constexpr std::string_view escaped_zero = "\\u0000";
    int depth = 0;
    bool is_in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (is_in_string && text.substr(index, escaped_zero.size()) == escaped_zero)
            return true;
        if (is_in_string && character == '\\')
            ++index;
        else if (character == '"')
            is_in_string = !is_in_string;
        else if (!is_in_string && (character == '{' || character == '['))
            ++depth;
        else if (!is_in_string && (character == '}' || character == ']'))
            --depth;
        if (depth > max_json_depth)
            return true;
    }
    return false;
}

// Calls `visit` with each element; does nothing if the node is missing or not an array.
template <typename Visit>
void for_each_element(JsonNode* node, Visit visit)
{
    if (node == nullptr || !JSON_NODE_HOLDS_ARRAY(node))
        return;
    JsonArray* array = json_node_get_array(node);
    for (guint index = 0; index < json_array_get_length(array); ++index)
        visit(json_array_get_element(array, index));
}

} // namespace

JsonNode* json_object::member(const char* name) const
{
    return json_object_get_member(m_object, name);
}

bool json_object::has(const char* name) const
{
    return json_object_has_member(m_object, name) != FALSE;
}

std::optional<std::string> json_object::text(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_STRING)
        return std::nullopt;
    return std::string(json_node_get_string(node));
}

std::optional<std::int64_t> json_object::integer(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_int(node);
}

std::optional<double> json_object::decimal(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || !JSON_NODE_HOLDS_VALUE(node))
        return std::nullopt;
    const GType type = json_node_get_value_type(node);
    if (type != G_TYPE_DOUBLE && type != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_double(node);
}

std::optional<bool> json_object::flag(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_BOOLEAN)
        return std::nullopt;
    return json_node_get_boolean(node) != FALSE;
}

std::optional<json_object> json_object::object(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || !JSON_NODE_HOLDS_OBJECT(node))
        return std::nullopt;
    return json_object(json_node_get_object(node));
}

std::vector<json_object> json_object::objects(const char* name) const
{
    std::vector<json_object> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (JSON_NODE_HOLDS_OBJECT(element))
            result.push_back(json_object(json_node_get_object(element)));
    });
    return result;
}

std::vector<std::string> json_object::texts(const char* name) const
{
    std::vector<std::string> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (json_node_get_value_type(element) == G_TYPE_STRING)
            result.push_back(std::string(json_node_get_string(element)));
    });
    return result;
}

std::vector<std::int64_t> json_object::integers(const char* name) const
{
    std::vector<std::int64_t> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (json_node_get_value_type(element) == G_TYPE_INT64)
            result.push_back(json_node_get_int(element));
    });
    return result;
}

std::vector<json_row> json_object::rows(const char* name) const
{
    std::vector<json_row> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (JSON_NODE_HOLDS_ARRAY(element))
            result.push_back(json_row(json_node_get_array(element)));
    });
    return result;
}

JsonNode* json_row::element(unsigned index) const
{
    return index < json_array_get_length(m_array) ? json_array_get_element(m_array, index) : nullptr;
}

std::optional<std::string> json_row::text(unsigned index) const
{
    JsonNode* node = element(index);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_STRING)
        return std::nullopt;
    return std::string(json_node_get_string(node));
}

std::optional<std::int64_t> json_row::integer(unsigned index) const
{
    JsonNode* node = element(index);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_int(node);
}

std::optional<std::size_t> json_object::count(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || !JSON_NODE_HOLDS_ARRAY(node))
        return std::nullopt;
    return json_array_get_length(json_node_get_array(node));
}

std::vector<std::string> json_object::names() const
{
    std::vector<std::string> result;
    std::unique_ptr<GList, decltype(&g_list_free)> members(json_object_get_members(m_object), g_list_free);
    for (GList* item = members.get(); item != nullptr; item = item->next)
        result.emplace_back(static_cast<const char*>(item->data));
    return result;
}

std::optional<json_document> json_document::parse(std::string_view text, reason& why)
{
    why = reason::bad_json;
    if (has_unsupported_content(text) || g_utf8_validate_len(text.data(), text.size(), nullptr) == FALSE)
        return std::nullopt;
    json_document document;
    document.m_parser.reset(json_parser_new_immutable());
    duplicate_key_detector detector;
    g_signal_connect(document.m_parser.get(), "object-member", G_CALLBACK(on_object_member), &detector);
    const gboolean is_parsed = json_parser_load_from_data(document.m_parser.get(), text.data(),
                                                          static_cast<gssize>(text.size()), nullptr);
    g_signal_handlers_disconnect_by_data(document.m_parser.get(), &detector);
    if (is_parsed == FALSE)
        return std::nullopt;
    JsonNode* root = json_parser_get_root(document.m_parser.get());
    if (root == nullptr || !JSON_NODE_HOLDS_OBJECT(root))
        return std::nullopt;
    if (detector.m_has_duplicate) {
        why = reason::duplicate_key;
        return std::nullopt;
    }
    why = reason::none;
    return document;
}

json_object json_document::root() const
{
    return json_object(json_node_get_object(json_parser_get_root(m_parser.get())));
}

json_writer::json_writer() : m_builder(json_builder_new()) {}

json_writer& json_writer::begin_object()
{
    json_builder_begin_object(m_builder.get());
    return *this;
}

json_writer& json_writer::end_object()
{
    json_builder_end_object(m_builder.get());
    return *this;
}

json_writer& json_writer::begin_array()
{
    json_builder_begin_array(m_builder.get());
    return *this;
}

json_writer& json_writer::end_array()
{
    json_builder_end_array(m_builder.get());
    return *this;
}

json_writer& json_writer::key(const char* name)
{
    json_builder_set_member_name(m_builder.get(), name);
    return *this;
}

json_writer& json_writer::text(std::string_view value)
{
    json_builder_add_string_value(m_builder.get(), std::string(value).c_str());
    return *this;
}

json_writer& json_writer::integer(std::int64_t value)
{
    json_builder_add_int_value(m_builder.get(), value);
    return *this;
}

json_writer& json_writer::decimal(double value)
{
    json_builder_add_double_value(m_builder.get(), value);
    return *this;
}

json_writer& json_writer::flag(bool value)
{
    json_builder_add_boolean_value(m_builder.get(), value ? TRUE : FALSE);
    return *this;
}

json_writer& json_writer::null()
{
    json_builder_add_null_value(m_builder.get());
    return *this;
}

std::string json_writer::to_string() const
{
    std::unique_ptr<JsonNode, decltype(&json_node_unref)> root(json_builder_get_root(m_builder.get()),
                                                               json_node_unref);
    std::unique_ptr<char, decltype(&g_free)> text(json_to_string(root.get(), FALSE), g_free);
    return text.get();
}

} // namespace hawthornpin
