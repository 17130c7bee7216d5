#pragma once

#include <array>

#include <admission/Level.h>
#include <admission/Priority.h>

namespace admission {

/**
 * Keeps the level at which something that is short is given out, best priorities first: down to
 * what was given out lately while it is short, and back up in growing steps when it is not.
 */
class LevelController
{
public:
    Level level() const { return level_; }

    /** A request asked for it. */
    void noteArrived(const Priority &priority);

    /** A request got it. */
    void noteStarted();

    /** A request was refused because better ones take all capacity. */
    void noteShed(const Priority &priority);

    /** Ends a window; isLate: there was less than was asked for. */
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

} // namespace admission
