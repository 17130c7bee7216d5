#include <admission/AnswerLevels.h>

#include <charconv>

namespace admission {

namespace {

/** Takes one number and the blank behind it off the front of the text. */
Level takeLevel(std::string_view &text)
{
    const auto blank = text.find(' ');
    const auto word = text.substr(0, blank);
    text = blank == std::string_view::npos ? std::string_view() : text.substr(blank + 1);
    long number = Level::highest;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
    const bool isNumber = error == std::errc() && end == word.data() + word.size();
    return isNumber ? Level::fromNumber(number) : Level::all();
}

} // namespace

std::string AnswerLevels::text() const
{
    return std::to_string(own_.value_) + " " + std::to_string(customer_.value_) + " "
           + std::to_string(further_.value_);
}

AnswerLevels AnswerLevels::parse(std::string_view text)
{
    AnswerLevels result;
    result.own_ = takeLevel(text);
    result.customer_ = takeLevel(text);
    result.further_ = takeLevel(text);
    return result;
}

} // namespace admission
