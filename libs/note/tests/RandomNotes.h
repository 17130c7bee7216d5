#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <base/Random.h>
#include <note/Record.h>

/** Generates random valid notes from a small set of names, so that conflicts are frequent. */
class RandomNotes
{
public:
    explicit RandomNotes(std::uint64_t seed)
        : random_(seed)
    {}

    note::ReleaseNote note(model::Revision maxBase)
    {
        std::map<note::ItemKey, note::Change> changes;
        const auto count = 1 + random_.below(3);
        for (std::uint64_t i = 0; i < count; ++i) {
            auto change = randomChange();
            changes.emplace(change.key_, change);
        }
        note::ReleaseNote result{"n" + std::to_string(random_.below(30)),
                                 maxBase - std::min(maxBase, random_.below(4)),
                                 {}};
        for (const auto &[key, change] : changes)
            result.changes_.push_back(change);
        return result;
    }

    base::Random &random() { return random_; }

private:
    std::string randomName(const char *prefix) { return prefix + std::to_string(random_.below(3)); }

    note::ItemValue randomValue()
    {
        switch (random_.below(5)) {
        case 0:
            return model::Service{randomName("s")};
        case 1:
            return model::RequestClass{randomName("c"), randomName("s"), "POST", "/p", 3, true,
                                       base::Millis(5)};
        case 2:
            return model::Customer{randomName("u"),
                                   1 + static_cast<std::uint32_t>(random_.below(9)), 0};
        case 3:
            return customerWithKey();
        default:
            return note::RetryRule{{randomName("c"), 2, 0.1}, false};
        }
    }

    /** Keys are as few as names, so that customers contend for them. */
    model::Customer customerWithKey()
    {
        model::Customer result{.name_ = randomName("u"), .rank_ = 2};
        result.keys_ = {model::KeyDigest::of(randomName("k"))};
        result.allowance_ = {static_cast<double>(1 + random_.below(9)) / 4, 2};
        return result;
    }

    note::Change randomChange()
    {
        const auto newValue = randomValue();
        const auto key = note::keyOf(newValue);
        switch (random_.below(4)) {
        case 0:
            return {note::Action::Withdraw, key, std::nullopt};
        case 1:
            return {note::Action::Change, key, newValue};
        default:
            return {note::Action::Add, key, newValue};
        }
    }

    base::Random random_;
};
