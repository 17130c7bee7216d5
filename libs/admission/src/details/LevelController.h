#pragma once

#include <array>

#include <admission/Level.h>
#include <admission/Priority.h>

namespace admission::details {

/**
 * Keeps the level reported to callers: down to what the instance can start while it is
 * overloaded, and back up in growing steps when it is not.
 */
class LevelController
{
public:
    Level level() const { return level_; }

    void noteArrived(const Priority &priority);
    void noteStarted();

    /** A request was refused because better ones take all capacity. */
    void noteShed(const Priority &priority);

    /** Ends a window; isLate: requests waited too long before they started or expired. */
    void closeWindow(bool isLate);

private:
    Level levelForCapacity() const;

    Level level_ = Level::all();
    bool hasShed_ = false;
    int step_ = smallestStep;
    double started_ = 0.0;
    std::array<double, Level::highest + 1> arrived_ = {};

    static constexpr int smallestStep = 8;
    static constexpr int largestStep = Priority::bucketCount;
};

} // namespace admission::details
