package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/daemon"
	"topazpulley/internal/emulator"
	"topazpulley/internal/settings"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1.
func writeCertificate(t *testing.T) (certificateFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "topazpulley"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	certificateFile, keyFile = filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encodedKey}), 0o600))
	return certificateFile, keyFile
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestTLSListenerRequiresVersion13: the listener must use TLS if it has a certificate, and refuse
// versions before 1.3.
func TestTLSListenerRequiresVersion13(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() { _ = emulator.NewPlatform().Serve(listener) }()
	process := settings.Default()
	process.Name, process.Zone = "a", "z"
	process.HTTPAddress, process.PeerAddress = freeAddress(t), freeAddress(t)
	process.PlatformURL = "http://" + listener.Addr().String()
	process.ClusterKey = strings.Repeat("00", 32)
	process.TLSCertificateFile, process.TLSKeyFile = writeCertificate(t)
	require.NoError(t, process.Validate())
	running := daemon.New(process, daemon.Options{}, slog.New(slog.DiscardHandler))
	require.NoError(t, running.Start())
	defer func() { _ = running.Kill() }()

	pool := x509.NewCertPool()
	certificate, err := os.ReadFile(process.TLSCertificateFile)
	require.NoError(t, err)
	require.True(t, pool.AppendCertsFromPEM(certificate))
	get := func(maxVersion uint16) error {
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MaxVersion: maxVersion}}
		defer transport.CloseIdleConnections()
		answer, err := (&http.Client{Transport: transport, Timeout: 30 * time.Second}).Get("https://" + process.HTTPAddress + "/healthz")
		if err != nil {
			return err
		}
		return answer.Body.Close()
	}
	require.NoError(t, get(tls.VersionTLS13))
	require.Error(t, get(tls.VersionTLS12))
}
