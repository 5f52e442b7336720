package test

import (
	"os"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

func TestMain(m *testing.M) { os.Exit(testenv.RunWithDaemon(m, &binary)) }
