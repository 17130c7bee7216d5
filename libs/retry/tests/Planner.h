#pragma once

#include <algorithm>
#include <utility>

namespace retry::tests {

/**
 * Best possible use of a number of repeats: for one rank after the other, a refused call is
 * repeated if the success of its request, given the calls that it still needs, is worth the price;
 * the price is the lowest one at which the repeats suffice. The planner knows all probabilities,
 * and starts every request.
 */
class Planner
{
public:
    Planner(double refusalProbability, int calls)
        : refusal_(refusalProbability)
        , calls_(calls)
    {}

    /** Share of the requests that is served with that many repeats each; what is left of them. */
    std::pair<double, double> serve(double repeatsPerRequest) const
    {
        double low = 0;
        double high = 2;
        if (plan(low).second <= repeatsPerRequest)
            return {plan(low).first, repeatsPerRequest - plan(low).second};
        for (int i = 0; i < 60; ++i) {
            const double price = (low + high) / 2;
            (plan(price).second > repeatsPerRequest ? low : high) = price;
        }
        // The plans at both sides of the price are mixed so that all repeats are used.
        const auto [servedMore, cost] = plan(low);
        const auto [servedLess, lessCost] = plan(high);
        const double mix = cost > lessCost ? (repeatsPerRequest - lessCost) / (cost - lessCost) : 0;
        return {servedLess + mix * (servedMore - servedLess), 0};
    }

private:
    /** Probability of success and expected repeats of a request at that price of a repeat. */
    std::pair<double, double> plan(double price) const
    {
        const double success = 1 - refusal_;
        double value = 1;
        double served = 1;
        double repeats = 0;
        for (int left = 1; left <= calls_; ++left) {
            const bool isRepeated = value - price / success > 0;
            const double completed = isRepeated ? 1 : success;
            repeats = completed * repeats + (isRepeated ? refusal_ / success : 0);
            served *= completed;
            value = success * value + refusal_ * std::max(0.0, value - price / success);
        }
        return {served, repeats};
    }

    double refusal_;
    int calls_;
};

} // namespace retry::tests
