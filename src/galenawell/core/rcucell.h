// Publishes immutable values to the request path by read-copy-update. Readers take no lock and never block; a writer waits
// until no reader can access the replaced value.
#pragma once

#include <memory>

// The bulletproof flavour registers reader threads by itself, as required by a pool of Asio threads.
#include <urcu-bp.h>

namespace Galenawell {

template<typename T>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const T> initial)
        : node(new Node{std::move(initial)})
    {
    }

    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    ~RcuCell()
    {
        delete this->node;
    }

    // Not null unless constructed or published with null.
    std::shared_ptr<const T> read() const
    {
        urcu_bp_read_lock();
        std::shared_ptr<const T> value = __atomic_load_n(&this->node, __ATOMIC_CONSUME)->value;
        urcu_bp_read_unlock();
        return value;
    }

    // Blocks for one grace period, so it must not be called within a read-side critical section.
    void publish(std::shared_ptr<const T> value)
    {
        Node *replaced = __atomic_exchange_n(&this->node, new Node{std::move(value)}, __ATOMIC_ACQ_REL);
        urcu_bp_synchronize_rcu();
        delete replaced;
    }

private:
    struct Node
    {
        std::shared_ptr<const T> value;
    };

    Node *node;
};

} // namespace Galenawell
