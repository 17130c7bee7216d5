#pragma once

#include <configcheck/Draft.h>
#include <rapidcheck.h>

namespace configcheck::test {

inline std::string randomName()
{
    return *rc::gen::element<std::string>("", "a", "b", "c");
}

inline EntryValue randomValue()
{
    const auto number = [] {
        return *rc::gen::element(-1, 0, 1, 9, 10);
    };
    const auto count = [] {
        return *rc::gen::inRange<std::uint32_t>(0, 3);
    };
    const model::RequestClass requestClass{.name_ = randomName(),
                                           .service_ = randomName(),
                                           .method_ = randomName(),
                                           .pathPrefix_ = randomName(),
                                           .rank_ = number(),
                                           .idempotent_ = *rc::gen::arbitrary<bool>(),
                                           .deadline_ = base::Millis(number()),
                                           .isPublic_ = *rc::gen::arbitrary<bool>()};
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return model::Service{randomName(), count()};
    case 1:
        return requestClass;
    case 2: {
        model::Route route{requestClass, {}, count(), base::Millis(number())};
        for (auto i = count(); i > 0; --i)
            route.services_.push_back({randomName(), count()});
        return RouteEntry{randomName(), route};
    }
    case 3: {
        model::Customer customer{randomName(), count(), count(), number()};
        for (auto i = count(); i > 0; --i)
            customer.keys_.push_back(model::KeyDigest::of(randomName()));
        customer.allowance_ = {*rc::gen::arbitrary<double>(), *rc::gen::arbitrary<double>()};
        return customer;
    }
    default:
        return RetryEntry{{randomName(), count(), *rc::gen::arbitrary<double>()},
                          *rc::gen::arbitrary<bool>()};
    }
}

inline Draft randomDraft()
{
    Draft draft{.requiresKeys_ = *rc::gen::arbitrary<bool>()};
    for (int i = *rc::gen::inRange(0, 8); i > 0; --i)
        draft.entries_.push_back({"entry " + std::to_string(i), randomValue()});
    return draft;
}

} // namespace configcheck::test
