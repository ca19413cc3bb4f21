package gatekeeper

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
)

// body is the body of a request. It charges what is read.
type body struct {
	io.ReadCloser
	connection *connection
	bytes      int64
	err        error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	b.err = b.check(n, err)
	if b.err != nil && b.err != io.EOF {
		return 0, b.err
	}
	return n, b.err
}

// check charges n bytes and returns the error of the read, by its cause.
func (b *body) check(n int, err error) error {
	c := b.connection
	overhead := c.overhead(b.bytes)
	switch {
	case isOverloaded(err):
		return errOverloaded()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.gate.reporter.closedFor(causeSilence, c)
		return classifier.Wrap(err, classifier.BadRequest, "body did not arrive in time")
	case overhead > overheadFactor*b.bytes+overheadSlack:
		c.gate.reporter.closedFor(causeOverhead, c)
		return classifier.New(classifier.BadRequest, "body of %d bytes has %d bytes of overhead", b.bytes, overhead)
	}
	if n > 0 {
		if refused := c.gate.charge(c, bodyCopies*int64(n)); refused != nil {
			return refused
		}
	}
	if err == io.EOF {
		c.gate.serve(c)
	}
	return err
}
