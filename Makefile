# Entry points for people and CI. Everything else is in CMakeLists.txt.
.PHONY: deps build test demo asan tsan format format-check tidy

PACKAGES = g++ cmake ninja-build ccache clang-format clang-tidy libace-dev libnghttp2-dev \
  libboost-dev libyaml-cpp-dev libcxxopts-dev \
  libeasyloggingpp-dev libexpected-dev libgtest-dev librapidcheck-dev libmsgpack-cxx-dev \
  libxxhash-dev nlohmann-json3-dev libssl-dev pkg-config

deps:
	@scripts/install-deps.sh $(PACKAGES)

build: deps
	cmake -S . -B build -G Ninja
	cmake --build build

test: build
	ctest --test-dir build --output-on-failure -j 8

asan: deps
	cmake -S . -B build-asan -G Ninja -DFUCHSIADOCK_ASAN=ON
	cmake --build build-asan
	ctest --test-dir build-asan --output-on-failure -j 8

tsan: deps
	cmake -S . -B build-tsan -G Ninja -DFUCHSIADOCK_TSAN=ON
	cmake --build build-tsan
	ctest --test-dir build-tsan --output-on-failure -j 8

demo: build
	scripts/demo.sh

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

format-check: deps
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror

tidy: build
	git ls-files 'libs/*.cpp' 'platform/*.cpp' 'tools/*.cpp' | xargs -P 10 -n 4 clang-tidy --quiet -p build
