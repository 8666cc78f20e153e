package main

import "errors"

// errNotServed reports that a statement which prepares the case was not served.
var errNotServed = errors.New("a statement that prepares the case was not served")
