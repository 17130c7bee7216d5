#pragma once

#include <array>

#include <admission/Level.h>
#include <admission/Priority.h>

namespace admission {

/**
 * Controls the level down to which a scarce resource is granted, best priorities first. Lowers the
 * level to the recently granted amount while demand exceeds supply, and raises it in growing steps
 * otherwise.
 */
class LevelController
{
public:
    Level level() const { return level_; }

    /** Records a request for the resource. */
    void recordArrival(const Priority &priority);

    /** Records that the resource was granted. */
    void recordStart();

    /** Records a refusal because better requests take all capacity. */
    void recordShed(const Priority &priority);

    /** Ends a window; isOverloaded: demand exceeded supply. */
    void closeWindow(bool isOverloaded);

private:
    Level levelForCapacity() const;

    Level level_ = Level::all();
    bool hasShed_ = false;
    int recoveryStep_ = minRecoveryStep;
    double started_ = 0.0;
    std::array<double, Level::highest + 1> arrived_ = {};

    static constexpr int minRecoveryStep = 8;
    static constexpr int maxRecoveryStep = Priority::bucketCount;
};

} // namespace admission
