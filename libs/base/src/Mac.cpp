#include <base/Mac.h>

#include <array>
#include <cassert>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace base {

std::string mac(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
    unsigned int length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    const auto *done = HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes,
                            text.size(), digest.data(), &length);
    assert(done && length >= macBytes);
    (void)done;
    return std::string(reinterpret_cast<const char *>(digest.data()), macBytes);
}

bool equalsInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomSecret()
{
    std::array<unsigned char, 32> bytes;
    const int done = RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    assert(done == 1);
    (void)done;
    return std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size());
}

} // namespace base
