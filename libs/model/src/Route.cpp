#include <model/Route.h>

namespace model {

std::string_view Route::selectService(double point) const
{
    double total = 0;
    for (const auto &target : services_)
        total += target.weight_;
    auto remaining = point * total;
    for (const auto &target : services_) {
        remaining -= target.weight_;
        if (remaining < 0)
            return target.service_;
    }
    return services_.empty() ? std::string_view() : services_.back().service_;
}

} // namespace model
