#include <admission/AnswerLevels.h>

#include <charconv>

namespace admission {

namespace {

/** Parses the first number of the text and removes it with the separator that follows. */
Level parseNextLevel(std::string_view &text)
{
    const auto separator = text.find(' ');
    const auto word = text.substr(0, separator);
    text = separator == std::string_view::npos ? std::string_view() : text.substr(separator + 1);
    long number = Level::highest;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
    const bool isNumber = error == std::errc() && end == word.data() + word.size();
    return isNumber ? Level::fromNumber(number) : Level::all();
}

} // namespace

std::string AnswerLevels::toString() const
{
    return std::to_string(instance_.value_) + " " + std::to_string(customer_.value_) + " "
           + std::to_string(downstream_.value_)
           + (repeats_ == Level::all() ? std::string() : " " + std::to_string(repeats_.value_));
}

AnswerLevels AnswerLevels::parse(std::string_view text)
{
    AnswerLevels result;
    result.instance_ = parseNextLevel(text);
    result.customer_ = parseNextLevel(text);
    result.downstream_ = parseNextLevel(text);
    result.repeats_ = parseNextLevel(text);
    return result;
}

} // namespace admission
