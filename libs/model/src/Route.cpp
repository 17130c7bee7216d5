#include <model/Route.h>

namespace model {

std::string_view Route::serviceAt(double point) const
{
    double total = 0;
    for (const auto &target : services_)
        total += target.weight_;
    auto left = point * total;
    for (const auto &target : services_) {
        left -= target.weight_;
        if (left < 0)
            return target.service_;
    }
    return services_.empty() ? std::string_view() : services_.back().service_;
}

} // namespace model
