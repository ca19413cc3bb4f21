package conductor_test

import (
	"testing"

	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}
