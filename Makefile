# Shortcuts for the usual commands; the build itself is CMake's. PACKAGES are Debian packages.
PACKAGES = g++ cmake make libuv1-dev libhttp-parser-dev libfmt-dev nlohmann-json3-dev pkg-config doctest-dev \
    libcli11-dev libtomlplusplus-dev libxxhash-dev gnuplot-nox libboost-dev libspdlog-dev clang-format-14 cppcheck python3
SOURCES = $(shell git ls-files 'src/*.cpp' 'src/*.hpp' 'tests/*.cpp' 'tests/*.hpp')

.PHONY: build test demo lint drawings run install-packages clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DPOPPYSCALE_TESTBED=ON
	cmake --build build -j8

demo: install-packages build
	build/poppyscale_testbed run scenarios/demo.toml --program build/poppyscale --out demo-report
	@echo "Report written to demo-report/report.html"

test: install-packages
	cmake -B build-test -DPOPPYSCALE_TESTS=ON -DCMAKE_BUILD_TYPE=Debug
	cmake --build build-test -j8
	ctest --test-dir build-test --output-on-failure -j4

lint:
	clang-format-14 --dry-run --Werror $(SOURCES)
	cppcheck --enable=warning,performance,portability --error-exitcode=1 --inline-suppr --quiet \
	    --suppress=missingIncludeSystem --std=c++20 -I src src
	tools/check_names.py
	tools/check_layers.py

# Needs the Debian package graphviz.
drawings:
	dot -Tsvg docs/drawings/architecture.dot -o docs/drawings/architecture.svg

run: build
	ROUTER_CONFIG=$${ROUTER_CONFIG:-examples/config.json} build/poppyscale

install-packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -qq && apt-get install -y -qq $(PACKAGES); }

clean:
	rm -rf build build-test demo-report
