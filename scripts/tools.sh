#!/usr/bin/env bash
# Installs the formatter, the linter and the code generator at pinned versions.
# They are not dependencies in go.mod.
set -euo pipefail
bin="$(go env GOPATH)/bin"
install_tool() {
  local name=$1 module=$2 version=$3
  if [[ -x $bin/$name ]] && go version -m "$bin/$name" | grep -qF "$version"; then
    return
  fi
  go install "$module@$version"
}
install_tool protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go v1.36.12
install_tool gofumpt mvdan.cc/gofumpt v0.12.0
install_tool golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint v2.15.0
