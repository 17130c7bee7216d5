#include <note/Fault.h>
#include <note/ItemValue.h>

#include <array>

#include <base/Overloaded.h>

namespace note {

std::string ItemKey::text() const
{
    static constexpr std::array<const char *, itemKindCount> names{"service", "class", "customer",
                                                                   "retry tolerance of class"};
    return std::string(names.at(static_cast<std::size_t>(kind_))) + " \"" + name_ + "\"";
}

ItemKey keyOf(const ItemValue &value)
{
    return std::visit(base::Overloaded{
                              [](const model::Service &v) {
                                  return ItemKey{ItemKind::Service, v.name_};
                              },
                              [](const model::RequestClass &v) {
                                  return ItemKey{ItemKind::RequestClass, v.name_};
                              },
                              [](const model::Customer &v) {
                                  return ItemKey{ItemKind::Customer, v.name_};
                              },
                              [](const RetryRule &v) {
                                  return ItemKey{ItemKind::Retry, v.tolerance_.requestClass_};
                              },
                      },
                      value);
}

std::string Fault::text() const
{
    return file_ + ":" + (line_ > 0 ? std::to_string(line_) + ":" : "") + " "
           + (field_.empty() ? "" : field_ + ": ") + message_;
}

} // namespace note
