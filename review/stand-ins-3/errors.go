package main

import "errors"

var errNotAccepted = errors.New("a job was not accepted")
