#pragma once

#include <cstddef>
#include <utility>

#include <net/ByteBudget.h>

namespace net {

/** Bytes that one message has reserved from a budget; returned on destruction at the latest. */
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

    /** Reserves more bytes for received data; false, with no change, if the budget refuses. */
    [[nodiscard]] bool tryReserve(ByteBudget &budget, std::size_t more)
    {
        if (!budget.mayGrow(size_, more))
            return false;
        reserve(budget, more);
        return true;
    }

    /** Reserves more bytes, without a check, for data already in memory such as a response. */
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
