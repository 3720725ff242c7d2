// Destroys objects in a later iteration of the event loop, because a promise or callback can't destroy the
// object that it runs in.

#pragma once

#include <glib.h>

#include <memory>
#include <vector>

namespace hawthornpin {

// Queue of objects that await destruction. Destroying the queue destroys its objects immediately.
template <typename Object>
class deferred_deletion {
public:
    deferred_deletion() = default;
    ~deferred_deletion()
    {
        if (m_source != 0)
            g_source_remove(m_source);
    }
    deferred_deletion(const deferred_deletion&) = delete;
    deferred_deletion& operator=(const deferred_deletion&) = delete;

    void add(std::unique_ptr<Object> object)
    {
        m_objects.push_back(std::move(object));
        if (m_source == 0)
            m_source = g_idle_add_full(G_PRIORITY_DEFAULT, destroy_all, this, nullptr);
    }

private:
    static gboolean destroy_all(gpointer data)
    {
        auto* self = static_cast<deferred_deletion*>(data);
        self->m_source = 0;
        // Destructors may add further objects, which are destroyed in the next iteration.
        const auto objects = std::move(self->m_objects);
        self->m_objects.clear();
        return G_SOURCE_REMOVE;
    }

    std::vector<std::unique_ptr<Object>> m_objects;
    guint m_source = 0;
};

} // namespace hawthornpin
