// Package spec holds the Promela models of the core protocols and the test that checks them with spin.
// README.md says which code keeps the rules of which model.
package spec
