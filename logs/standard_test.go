package logs

import (
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against keys of client accounts in the log: net/http logs the first bytes of a response that
// it did not await, and a store that sends one twice sends the configuration.
func TestUnexpectedResponsesAreNotLogged(t *testing.T) {
	is := is.New(t)
	messages := make(chan string, 1)
	out, flags := log.Writer(), log.Flags()
	defer func() {
		log.SetOutput(out)
		log.SetFlags(flags)
	}()
	log.SetFlags(0)
	log.SetOutput(NewStandardWriter(func(msg string) { messages <- msg }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			const response = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"
			_, _ = io.WriteString(c, response+response) // the client reports a failure
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Get("http://" + ln.Addr().String())
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	msg := <-messages
	is.True(strings.HasPrefix(msg, "Unsolicited response"))
	is.True(!strings.Contains(msg, "secret"))
}
