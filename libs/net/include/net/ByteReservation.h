#pragma once

#include <cstddef>
#include <utility>

#include <net/ByteBudget.h>

namespace net {

/** What one message takes of a budget; given back at the latest when destroyed. */
class ByteReservation
{
public:
    ByteReservation() = default;
    ~ByteReservation() { release(); }
    ByteReservation(ByteReservation &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr))
        , size_(std::exchange(other.size_, 0))
    {}
    ByteReservation &operator=(ByteReservation &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(size_, other.size_);
        return *this;
    }

    /** Takes more for bytes that arrive; false, with nothing taken, if the budget refuses. */
    [[nodiscard]] bool tryReserve(ByteBudget &budget, std::size_t more)
    {
        if (!budget.mayGrow(size_, more))
            return false;
        reserve(budget, more);
        return true;
    }

    /** Takes more for bytes that are in memory already, such as an answer to be sent. */
    void reserve(ByteBudget &budget, std::size_t more)
    {
        budget_ = &budget;
        size_ += more;
        budget.add(more);
    }

    void release()
    {
        if (budget_ != nullptr)
            budget_->subtract(size_);
        budget_ = nullptr;
        size_ = 0;
    }

    std::size_t size() const { return size_; }

private:
    ByteBudget *budget_ = nullptr;
    std::size_t size_ = 0;
};

} // namespace net
